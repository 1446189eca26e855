"""Which retries may be published for a route.

Admission limits carry the retry mode as a number: 0 allows no retry; 1 allows one, after proof that the first
attempt was never executed; 2 and 3 allow one and two after any failure. The lower of two numbers allows less.
"""

from __future__ import annotations

from ..decisions.settings import RequestSemantics

PROVEN_ONLY = 1


def stricter_retries(first: int, second: int) -> int:
    """Returns the stricter of two retry modes."""
    return min(first, second)


def publishable_retries(semantics: RequestSemantics, retries: int) -> int:
    """Returns the retry mode that may be published for a route with these request semantics.

    The published format states neither the group nor the window in which endpoints recognize an idempotency
    key, so only idempotent requests are retried after any failure, and all others only after proof.
    """
    return retries if semantics is RequestSemantics.IDEMPOTENT else min(retries, PROVEN_ONLY)
