"""Runs a gateway on the users' platform: ``python -m borageyard.platform``."""

import importlib
import signal
import sys

if __name__ == '__main__':
    # SIGHUP would end the process while it imports slow modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(importlib.import_module('.process', __package__).run())
