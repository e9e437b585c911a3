"""Show results as tables for people or JSON for programs."""

import json

from rich.console import Console
from rich.table import Table

PIPE_WIDTH = 160


def print_json(document):
    """Print a document as JSON.

    Parameters
    ----------
    document : object
        The document.
    """
    print(json.dumps(document, indent=2, sort_keys=True))


def print_table(title, columns, rows):
    """Print rows as a table.

    Parameters
    ----------
    title : str
        Heading.
    columns : sequence of str
        Column names.
    rows : sequence of sequence
        Cells.
    """
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    console = Console()
    if not console.is_terminal:
        console.width = PIPE_WIDTH
    console.print(table)
