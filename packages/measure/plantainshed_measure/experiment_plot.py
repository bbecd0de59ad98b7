"""Plots the outcomes of an experiment by second in the terminal."""

from statistics import fmean

import plotext

from .placing_tally import Tally

WIDTH = 88
HEIGHT = 14
# Plotted shares and their markers, the most important one last, on top of the others.
SHARES = {"late": "-", "refused": "x", "in_time": "o"}


def plot_by_second(title: str, tallies: list[Tally]) -> str:
    """Return a plot of the shares in time, refused and late by second.

    Parameters
    ----------
    title : str
    tallies : list of Tally
        Of the same combination with different seeds; the plot shows their means.
    """
    seconds: dict[int, list] = {}
    for tally in tallies:
        for one in tally.by_second():
            seconds.setdefault(one.second, []).append(one)
    figure = plotext.figure
    figure.clear()
    figure.theme("colorless")
    figure.plot_size(WIDTH, HEIGHT)
    # plotext's own legend would cover points.
    legend = ", ".join(f"{m} {name.replace('_', ' ')}" for name, m in SHARES.items())
    figure.title(f"{title} ({legend})")
    figure.label("second")
    figure.ruler("y").lim(0.0, 1.0)
    for name, marker in SHARES.items():
        means = [fmean(getattr(one, name) for one in seconds[s]) for s in seconds]
        figure.draw(figure.signal(list(seconds), means, marker=marker))
    return plotext.uncolorize(figure.build())
