"""Keys of the example documents; they are public, so only for demos and tests."""

__all__ = ["make_customer_key", "make_operator_key"]


def make_customer_key(member: str, customer: str) -> str:
    """Return the key of a customer in the example documents."""
    return f"demo-{member}-{customer}"


def make_operator_key(member: str, operator: str) -> str:
    """Return the key of an operator in the example documents."""
    return f"demo-{member}-operator-{operator}"
