"""Reading and checking of settings files and policy files."""

from pathlib import Path

from agatethread.exceptions import FieldError, SettingsError
from agatethread.settings._checking import parse_data_class
from agatethread.settings._model import Settings
from agatethread.settings._policies import Policies


def _cross_field_faults(source: str, settings: Settings) -> list[FieldError]:
    faults = []
    for role in settings.roles:
        if getattr(settings, role) is None:
            faults.append(FieldError(source, role, None, f"settings of role {role}"))
    if settings.tls is None and not settings.plain_text:
        faults.append(FieldError(source, "tls", None, "key files, or plain_text: true"))
    control = settings.control
    if control is not None and settings.name not in control.members:
        faults.append(
            FieldError(
                source,
                "control.members",
                sorted(control.members),
                f"this instance's name ({settings.name}) among them",
            )
        )
    return faults


def parse_settings(source: str, text: str) -> Settings:
    """Parse and check the text of a settings file.

    Parameters
    ----------
    source : str
        Name of the text in errors.
    text : str
        JSON with comments.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    SettingsError
        With a `FieldError` for each fault.
    """
    settings = parse_data_class(source, text, Settings, SettingsError)
    faults = _cross_field_faults(source, settings)
    if faults:
        raise SettingsError(f"{source} has faults", faults)
    return settings


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    SettingsError
        If the file can't be read or has faults.
    """
    return parse_settings(path, _read_file(path))


def load_policies(path: str) -> Policies:
    """Read and check a policies file.

    Parameters
    ----------
    path : str
        Path of the file, JSON with comments; missing policies have their defaults.

    Returns
    -------
    Policies
        The checked policies.

    Raises
    ------
    SettingsError
        If the file can't be read or has faults.
    """
    return parse_policies(path, _read_file(path))


def parse_policies(source: str, text: str) -> Policies:
    """Parse and check the text of a policies file.

    Parameters
    ----------
    source : str
        Name of the text in errors.
    text : str
        JSON with comments.

    Returns
    -------
    Policies
        The checked policies.

    Raises
    ------
    SettingsError
        With a `FieldError` for each fault.
    """
    return parse_data_class(source, text, Policies, SettingsError)


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = FieldError(path, "(file)", str(error), "a readable UTF-8 file")
        raise SettingsError(f"{path} can't be read", [fault]) from None
