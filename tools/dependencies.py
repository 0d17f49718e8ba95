"""Prints the runtime dependencies, one requirement a line.

The deployment installs them from its output, so that they are listed in
pyproject.toml only.
"""

import tomllib
from pathlib import Path

_PROJECT = Path(__file__).resolve().parent.parent / 'pyproject.toml'


def main() -> None:
    """Writes the requirements to standard output."""
    project = tomllib.loads(_PROJECT.read_text())['project']
    print('\n'.join(project['dependencies']))


if __name__ == '__main__':
    main()
