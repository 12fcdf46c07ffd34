"""How messages come in."""
