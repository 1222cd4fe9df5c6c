"""Resolution of references to the models and versions that a member may use."""

from fnmatch import fnmatchcase

from crocusvalve.config._document import Document, ModelConfig
from crocusvalve.config._view import qualify

__all__ = ["ReferenceResolver"]


class ReferenceResolver:
    """Resolves the references of members to models and versions of a document.

    A member may use the models of another member only if their owner shares them with it.

    Parameters
    ----------
    document : Document
        A document whose references may be invalid.
    """

    def __init__(self, document: Document):
        self._document = document
        self._models = {
            f"{member}/{name}": model
            for member, section in document.members.items()
            for name, model in section.models.items()
        }

    def has_member(self, name: str) -> bool:
        """Return whether a member has a section in the document."""
        return name in self._document.members

    def has_model(self, member: str, ref: str) -> bool:
        """Return whether a member may use a model, written ``model`` or ``owner/model``."""
        return self._find_model(member, ref) is not None

    def has_version(self, member: str, ref: str) -> bool:
        """Return whether a member may use a version, written ``model@version``."""
        name, _, version = ref.partition("@")
        model = self._find_model(member, name)
        return model is not None and version in model.versions

    def matches_any(self, member: str, pattern: str) -> bool:
        """Return whether a pattern of a customer matches a version that its member may use."""
        full = qualify(member, pattern)
        full = full if "@" in full else f"{full}@*"
        return any(
            fnmatchcase(f"{ref}@{version}", full)
            for ref, model in self._models.items()
            if self._is_usable(member, ref, model)
            for version in model.versions
        )

    def _find_model(self, member: str, ref: str) -> ModelConfig | None:
        full = qualify(member, ref)
        model = self._models.get(full)
        if model is None or not self._is_usable(member, full, model):
            return None
        return model

    @staticmethod
    def _is_usable(member: str, ref: str, model: ModelConfig) -> bool:
        return ref.partition("/")[0] == member or member in model.shared_with
