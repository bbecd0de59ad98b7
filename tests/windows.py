"""Counting of events within sliding windows."""


def most_in_window(
    times: list[float], window_s: float, ends_from: float = float("-inf")
) -> int:
    """Return the most of some times within a window.

    Parameters
    ----------
    times : list of float
        In ascending order.
    window_s : float
        Length of the window, both ends included.
    ends_from : float
        Only windows that end then or later count.
    """
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        if at >= ends_from:
            most = max(most, last - first + 1)
    return most
