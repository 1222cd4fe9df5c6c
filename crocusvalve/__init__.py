"""Model-aware router for versions and cascades in front of a shared pool of language models."""

__version__ = "0.1.0"
__all__ = ["__version__"]
