"""Starts the node beside a target from the source tree."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'src'))

from eelgrasswalk.cli import sidecar

sidecar.main()
