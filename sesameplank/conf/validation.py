"""Decides whether a configuration document is valid, the same way everywhere."""

import msgspec

from ..exceptions import ConfigurationError
from .documents import Configuration
from .rules import Fault, find_faults


def list_faults(document: bytes) -> list[Fault]:
    """Return every fault of a document, the structure's before the rules'.

    The structure is checked against the JSON schema of `Configuration`; the
    rules run only on a document whose structure is whole.
    """
    try:
        value = msgspec.json.decode(document)
    except msgspec.DecodeError as error:
        return [Fault("$", f"not JSON: {error}", "mend the syntax")]
    import jsonschema  # Only a check needs it, and it takes 3 MB.

    schema = msgspec.json.schema(Configuration)
    faults = [
        Fault(fault.json_path, fault.message, "correct the field; see docs/ref")
        for fault in jsonschema.Draft202012Validator(schema).iter_errors(value)
    ]
    if faults:
        return faults
    try:
        return find_faults(msgspec.json.decode(document, type=Configuration))
    except msgspec.DecodeError as error:
        return [Fault("$", str(error), "correct the field; see docs/ref")]


def decode_configuration(document: bytes | msgspec.Raw) -> Configuration:
    """Decode and check a document, or raise ConfigurationError with its path."""
    try:
        configuration = msgspec.json.decode(document, type=Configuration)
    except msgspec.DecodeError as error:
        raise ConfigurationError(
            f"the configuration document is refused: {error}; correct that field "
            "and publish again"
        ) from error
    faults = find_faults(configuration)
    if faults:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise ConfigurationError(
            f"the configuration document is refused: {faults[0]}{more}"
        )
    return configuration
