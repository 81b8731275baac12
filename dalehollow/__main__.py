"""Run the command line as `python -m dalehollow`."""

from __future__ import annotations

from dalehollow.cli import main

if __name__ == "__main__":
    main()
