"""How messages go out."""
