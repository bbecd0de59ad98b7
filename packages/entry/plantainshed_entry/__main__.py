"""Start the entry daemon."""

import signal


def main():
    """Run the command ``plantainshed-entry``."""
    # By default, SIGHUP ends the process. Ignore it while the daemon's own signal
    # handling is not active: while the modules below are imported, and after the
    # daemon has stopped.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import run_command

    run_command()


if __name__ == "__main__":
    main()
