"""What must last."""
