"""Start the entry daemon."""

import signal


def main():
    """Run the command ``plantainshed-entry``."""
    # The system ends a process for a hangup that comes before the daemon takes
    # signals: while the modules below are loaded, and after its last line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import run_command

    run_command()


if __name__ == "__main__":
    main()
