"""Choice of a model's version at first contact.

A contact is a session, or a request outside a session.
"""

from crocusvalve.base import CustomerId, ModelRef, RolloutState, VersionRef
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.model import EntryTables, RolloutRow
from crocusvalve.rollout._factory import make_rollout_policy
from crocusvalve.utils import hash_to_unit

__all__ = ["choose_version", "compute_share", "is_version_usable"]

#: Value of ``step`` in the errors of this module.
STEP = "version"


def compute_share(row: RolloutRow) -> float:
    """Return the share of first contacts that now get the new version of a roll-out, in [0, 1]."""
    if row.state is RolloutState.COMPLETE:
        return 1.0
    if row.state is RolloutState.WITHDRAWN or row.is_paused:
        return 0.0
    return make_rollout_policy(row.policy).get_share(row)


def is_version_usable(tables: EntryTables, customer_id: CustomerId, version: VersionRef) -> bool:
    """Return whether a version accepts new requests and the customer may use it."""
    if tables.is_version_withdrawn(version) or is_rolled_back(tables, version):
        return False
    return tables.view.is_allowed(customer_id, version)


def is_rolled_back(tables: EntryTables, version: VersionRef) -> bool:
    """Return whether a roll-out's row withdraws a version.

    The row is written before the withdrawal is published in a revision of the configuration.
    """
    row = tables.rollouts.get(version.partition("@")[0])
    return row is not None and row.version == version and row.state is RolloutState.WITHDRAWN


def choose_version(
    tables: EntryTables, customer_id: CustomerId, model: ModelRef, contact_key: str
) -> VersionRef:
    """Choose the version of a model for a first contact.

    Within a roll-out the choice depends only on the hash of the contact's key: a contact that got
    the new version at an earlier stage gets it at every later one.

    Parameters
    ----------
    tables : EntryTables
        State of the entry: configuration, roll-outs and withdrawn versions.
    customer_id : CustomerId
        Customer that sent the request.
    model : ModelRef
        Model that the request asks for.
    contact_key : str
        Id of the session, or of the request outside a session.

    Returns
    -------
    VersionRef
        A version that the customer may use and that is not withdrawn.

    Raises
    ------
    RefusedError
        ``UNKNOWN_MODEL``, ``MODEL_NOT_ALLOWED`` or ``VERSION_WITHDRAWN``.
    """
    cfg = tables.view.models.get(model)
    if cfg is None:
        raise RefusedError(ErrorCode.UNKNOWN_MODEL, f"model {model} does not exist", step=STEP)
    row = tables.rollouts.get(model)
    if row is not None and is_version_usable(tables, customer_id, row.version):
        if hash_to_unit(f"{row.rollout_id}|{contact_key}") < compute_share(row):
            return row.version
    current = VersionRef(f"{model}@{cfg.current}")
    baseline = row.baseline if row is not None else current
    for version in (baseline, current):
        if is_version_usable(tables, customer_id, version):
            return version
    return _choose_unmanaged_version(tables, customer_id, model)


def _choose_unmanaged_version(
    tables: EntryTables, customer_id: CustomerId, model: ModelRef
) -> VersionRef:
    """Choose the last usable version that is not part of the roll-out.

    For customers that can use neither the roll-out's two versions nor the current one.
    """
    row = tables.rollouts.get(model)
    managed = {row.version, row.baseline} if row is not None else set()
    versions = [VersionRef(f"{model}@{name}") for name in tables.view.models[model].versions]
    allowed = [ref for ref in versions if tables.view.is_allowed(customer_id, ref)]
    if not allowed:
        raise RefusedError(
            ErrorCode.MODEL_NOT_ALLOWED,
            f"no version of {model} is allowed to the customer",
            step=STEP,
        )
    usable = [ref for ref in allowed if is_version_usable(tables, customer_id, ref)]
    for version in reversed(usable):
        if version not in managed:
            return version
    raise RefusedError(
        ErrorCode.VERSION_WITHDRAWN, f"no version of {model} accepts new requests", step=STEP
    )
