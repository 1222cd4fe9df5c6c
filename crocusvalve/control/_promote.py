"""Copies a revision from one environment to another, such as from trial to production."""

import msgspec

from crocusvalve.base import Revision
from crocusvalve.control._config_store import ConfigStore

__all__ = ["promote_document"]


async def promote_document(
    source: ConfigStore,
    target: ConfigStore,
    *,
    revision: Revision | None,
    base: Revision,
    author: str,
    now: float,
) -> Revision:
    """Publish a revision of one environment as the next revision of another.

    Parameters
    ----------
    source, target : ConfigStore
        Stores of the environments to read from and to publish to.
    revision : Revision or None
        Revision of the source; None for the newest.
    base : Revision
        Revision of the target that the author knows as its newest.
    author : str
        Operator who promotes.
    now : float
        Current Unix time in seconds.

    Raises
    ------
    ConfigConflictError
        The source has no such revision, or the target has a newer one than ``base``.
    """
    document, source_revision = await source.load(revision)
    promoted = msgspec.structs.replace(document, environment=target.environment)
    note = f"promoted from {source.environment} revision {source_revision}"
    return await target.publish(base, promoted, author, now, note=note)
