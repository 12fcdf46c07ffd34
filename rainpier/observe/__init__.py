"""What an operator learns of decisions afterwards: recorded rounds, and where worth was lost."""
