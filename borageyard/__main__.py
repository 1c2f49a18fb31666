"""Runs the command line as a module."""

import sys

from .commands.main import main

sys.exit(main())
