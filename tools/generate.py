"""Generates typed modules of the package from its schemas.

`make generate` runs it. The output is committed, so that a build needs neither
this program nor the protobuf compiler.
"""

import json
import textwrap
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from grpc_tools import protoc

_ROOT: Final = Path(__file__).resolve().parent.parent
_PACKAGE: Final = _ROOT / 'src' / 'masticstage'
_TYPING: Final = 'from typing import Literal\n\n'
_LINE_LENGTH: Final = 80
_SCALARS: Final = MappingProxyType(
    {
        'string': 'str',
        'integer': 'int',
        'number': 'float',
        'boolean': 'bool',
    }
)


def _render_annotation(property_schema: dict[str, Any]) -> str:
    reference = property_schema.get('$ref')
    if reference is not None:
        return str(reference).rpartition('/')[2]
    enum = property_schema.get('enum')
    if enum is not None:
        choices = ', '.join(repr(choice) for choice in enum)
        return f'Literal[{choices}]'
    if property_schema['type'] == 'array':
        element = _render_annotation(property_schema['items'])
        return f'tuple[{element}, ...]'
    return _SCALARS[property_schema['type']]


def _render_field(
    name: str, property_schema: dict[str, Any], *, required: bool
) -> str:
    annotation = _render_annotation(property_schema)
    if required:
        return f'    {name}: {annotation}'
    if '$ref' in property_schema:
        return f'    {name}: {annotation} = attrs.field(factory={annotation})'
    default = property_schema['default']
    literal = '()' if isinstance(default, list) else repr(default)
    return f'    {name}: {annotation} = {literal}'


def _render_docstring(description: str) -> str:
    """Returns a docstring; what follows the first line is wrapped."""
    summary, _, details = description.partition('\n\n')
    if not details:
        return f'    """{summary}"""'
    indent = '    '
    body = textwrap.fill(
        details, _LINE_LENGTH, initial_indent=indent, subsequent_indent=indent
    )
    return f'{indent}"""{summary}\n\n{body}\n{indent}"""'


def _render_class(name: str, schema: dict[str, Any]) -> str:
    required = set(schema.get('required', ()))
    lines = [
        '@attrs.frozen',
        f'class {name}:',
        _render_docstring(schema['description']),
        '',
    ]
    ordered = sorted(
        schema['properties'].items(),
        key=lambda pair: pair[0] not in required,
    )
    lines.extend(
        _render_field(field, property_schema, required=field in required)
        for field, property_schema in ordered
    )
    return '\n'.join(lines)


def _render_module(schema_name: str) -> str:
    path = _PACKAGE / 'schemas' / f'{schema_name}.json'
    schema = json.loads(path.read_text())
    classes = [
        _render_class(name, body) for name, body in schema['$defs'].items()
    ]
    classes.append(_render_class(schema['title'], schema))
    joined = '\n\n\n'.join(classes)
    typing_line = (
        'from typing import Literal\n\n' if 'Literal' in joined else ''
    )
    return (
        f'"""Typed form of schemas/{schema_name}.json (generated)."""\n\n'
        f'{typing_line}import attrs\n\n\n{joined}\n'
    )


def main() -> None:
    """Writes the generated modules."""
    for schema_name in ('settings', 'configuration', 'entrysettings'):
        target = _PACKAGE / f'{schema_name}_schema.py'
        target.write_text(_render_module(schema_name))
    source = _ROOT / 'schema'
    output = _ROOT / 'src'
    protoc.main(
        [
            'protoc',
            f'-I{source}',
            f'--python_out={output}',
            f'--grpc_python_out={output}',
            f'--mypy_out={output}',
            f'--mypy_grpc_out={output}',
            str(source / 'masticstage' / 'peer.proto'),
        ]
    )


if __name__ == '__main__':
    main()
