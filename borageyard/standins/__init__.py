"""Small stand-ins for the outside systems that entries talk to."""
