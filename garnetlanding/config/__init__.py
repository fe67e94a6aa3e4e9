"""Configuration, read and validated at start and at reload: the platform's JSON, an operator's TOML."""

from garnetlanding.config.operator import OperatorConfig
from garnetlanding.config.platform import Config, flatten, load, merge_reloaded, read, read_settings
from garnetlanding.config.section import ConfigError, Section

__all__ = [
    "Config",
    "ConfigError",
    "OperatorConfig",
    "Section",
    "flatten",
    "load",
    "merge_reloaded",
    "read",
    "read_settings",
]
