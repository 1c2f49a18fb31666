"""Stand-ins for the external systems that entries and gateways call."""
