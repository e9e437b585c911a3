"""Print results as tables for people or as JSON for programs."""

import json

from rich.console import Console
from rich.table import Table

# Rich assumes 80 columns without a terminal, which would fold wide tables.
PIPE_WIDTH_COLUMNS = 160


def print_json(document):
    """Print a document as JSON.

    Parameters
    ----------
    document : object
        Any value that JSON can represent.
    """
    print(json.dumps(document, indent=2, sort_keys=True))


def print_table(title, columns, rows):
    """Print rows as a table.

    Parameters
    ----------
    title : str
        Heading.
    columns : sequence of str
        Column headings.
    rows : sequence of sequence
        Cells of each row; None is printed as an empty cell.
    """
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    console = Console()
    if not console.is_terminal:
        console.width = PIPE_WIDTH_COLUMNS
    console.print(table)
