"""Web forms for operators."""
