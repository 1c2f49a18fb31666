"""Subcommands of the ``borageyard`` command line."""
