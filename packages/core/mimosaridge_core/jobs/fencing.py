"""Fencing tokens in the owner's orders to workers.

A worker does nothing for a token below the highest that it has seen. The token
rises with each ownership and, within one, with each incarnation of a worker: an
order for a former incarnation that is carried out late is refused by the next
one as soon as that has accepted a hold. Nothing else in an order tells the two
apart, since a worker may start again under its id.
"""

from mimosaridge_core.jobs import effects

# Incarnations of workers that one owner can tell apart. The next owner has a
# higher token, and therefore higher ones at all workers.
INCARNATIONS_PER_OWNER = 1_000_000

Order = effects.Hold | effects.Start | effects.Stop | effects.Pace


def token_of(order: Order) -> int:
    """Returns the fencing token that an order carries to its worker."""
    incarnation = min(order.incarnation, INCARNATIONS_PER_OWNER - 1)
    return order.token * INCARNATIONS_PER_OWNER + incarnation
