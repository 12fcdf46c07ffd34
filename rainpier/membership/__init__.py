"""Where endpoints come from."""
