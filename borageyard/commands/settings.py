"""The ``borageyard settings`` command, which documents the schemas."""

import argparse
import json
import sys
import types
from collections.abc import Iterator, Mapping
from importlib import resources
from typing import Any

EXIT_OK = 0
HELP = 'print the reference page of all settings and of the configuration'
SCHEMAS = ('settings', 'configuration')
INTRODUCTION = """\
# Settings and configuration

Generated from `borageyard/schema` by `borageyard settings`; do not edit. A
process reads its settings from a JSON file when it starts. The configuration
is one JSON document that operators apply as a whole. A file that does not fit
is refused with the path, the value and what was expected.
"""

CLIENT_LIMITS = """\
## Limits of a gateway on clients

They follow from the settings that the platform writes and from the operator's
document; clients that keep to the latter meet none of the others.

| Limit | Comes from | Default |
|---|---|---|
| bytes held for all clients | half of `memoryMb` above 64 MB | 96 MB |
| least such bytes, whatever `memoryMb` is | fixed | 12 MiB |
| part of it for connections with up to 64 KB | an eighth | |
| body of a request | `limits.maxBodyBytes` | 4 MiB |
| time for a head, at most 10 s | `limits.headerTimeoutMs` | 3 s |
| time for each further 1,024 bytes of a body | fixed | 10 s |
| silence after which one gives way if memory is short | fixed | 1 s |
| wait of a body for memory | fixed | 10 s |
| bytes and time read on after a refusal | fixed | 256 KB, 0.5 s |
| streams of peers without a greeting | fixed | 512 |
| bytes of a greeting | fixed | 16 KB |
"""

Schema = Mapping[str, Any]

BOUND_LABELS: Mapping[str, str] = types.MappingProxyType(
    {
        'minimum': 'at least',
        'exclusiveMinimum': 'more than',
        'maximum': 'at most',
        'minLength': 'length at least',
        'minItems': 'items at least',
        'maxItems': 'items at most',
        'pattern': 'pattern',
    }
)


def add_settings_command(commands: Any) -> None:
    """Adds ``borageyard settings`` to the command line.

    Args:
        commands: The subparsers of the command line.
    """
    command = commands.add_parser('settings', help=HELP, description=HELP)
    command.set_defaults(run=_run_settings)


def settings_page() -> str:
    """Returns the text of docs/CONFIGURATION.md."""
    sections = [INTRODUCTION]
    for name in SCHEMAS:
        sections.extend(_describe_file(_load(name)))
    sections.append(CLIENT_LIMITS)
    return '\n'.join(sections)


def _run_settings(arguments: argparse.Namespace) -> int:
    sys.stdout.write(settings_page())
    return EXIT_OK


def _load(name: str) -> Schema:
    folder = resources.files('borageyard').joinpath('schema')
    text = folder.joinpath(f'{name}.json').read_text(encoding='utf-8')
    schema: Schema = json.loads(text)
    return schema


def _describe_file(schema: Schema) -> Iterator[str]:
    title = schema['title']
    yield f'## {title}\n'
    yield schema.get('description', '')
    yield ''
    if 'properties' in schema:
        yield _describe_object(schema)
    for name, part in schema.get('$defs', {}).items():
        if 'properties' in part:
            yield f'### {name}\n'
            yield _describe_object(part)


def _describe_object(part: Schema) -> str:
    lines = ['| Field | Type | Default | Meaning |', '|---|---|---|---|']
    required = part.get('required', ())
    for name, field in part['properties'].items():
        default = 'required' if name in required else _default(field)
        meaning = field.get('description', '').replace('|', r'\|')
        lines.append(f'| `{name}` | {_type(field)} | {default} | {meaning} |')
    rows = '\n'.join(lines)
    return f'{rows}\n'


def _default(field: Schema) -> str:
    if 'default' not in field:
        return 'none'
    default = json.dumps(field['default'])
    return f'`{default}`'


def _type(field: Schema) -> str:
    """Returns the type of a field, with its bounds, as Markdown."""
    reference: str = field.get('$ref', '')
    if reference:
        return reference.rpartition('/')[2]
    choices = field.get('enum', ())
    if choices:
        return ', '.join(f'`{choice}`' for choice in choices)
    kind = str(field.get('type', 'any'))
    inner = field.get('items') or field.get('additionalProperties')
    if isinstance(inner, dict):
        kind = f'{kind} of {_type(inner)}'
    bounds = ', '.join(
        f'{BOUND_LABELS[name]} {bound}'
        for name, bound in field.items()
        if name in BOUND_LABELS
    )
    return f'{kind}, {bounds}' if bounds else kind
