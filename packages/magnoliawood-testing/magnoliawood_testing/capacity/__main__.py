"""Measures all cost slopes and prints them with their projection."""

from magnoliawood_testing.capacity import account_slopes
from magnoliawood_testing.capacity import chart_slopes
from magnoliawood_testing.capacity import hosted_slopes
from magnoliawood_testing.capacity import process_slopes
from magnoliawood_testing.capacity import projection
from magnoliawood_testing.capacity import state_slopes
from magnoliawood_testing.capacity import wire_slopes


def main() -> None:
    """Print the slopes and the projection as two Markdown tables."""
    measured = [
        *chart_slopes.measure(),
        *state_slopes.measure(),
        *wire_slopes.measure(),
        *hosted_slopes.measure(),
        *account_slopes.measure(),
        *process_slopes.measure(),
    ]
    print('| slope | value | unit |\n|---|---:|---|')
    for slope in measured:
        print(f'| {slope.name} | {slope.value:.4g} | {slope.unit} |')
    print('\n| at target scale | value | unit | from | limit |')
    print('|---|---:|---|---|---|')
    for figure in projection.project(measured):
        print(
            f'| {figure.name} | {figure.value:.4g} | {figure.unit} '
            f'| {figure.formula} | {figure.verdict} |'
        )


if __name__ == '__main__':
    main()
