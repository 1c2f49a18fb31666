"""Entry point of ``python -m borageyard``."""

import sys

from .commands.main import main

sys.exit(main())
