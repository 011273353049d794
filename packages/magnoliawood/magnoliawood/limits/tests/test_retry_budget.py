from magnoliawood.limits import retry_budget
from magnoliawood.programs import identity

OVERLOADED = 'overloaded'
LOST = 'upstream_unavailable'


def key(number):
    return identity.ProgramKey('red-clay', f'pour-{number}')


def spent(budget, code, programs=500):
    return sum(budget.try_spend('e', key(n), code) for n in range(programs))


def test_overload_ends_the_retries_of_all_programs():
    budget = retry_budget.TokenBucketBudget()
    assert spent(budget, OVERLOADED) == retry_budget.OVERLOAD_BURST
    assert budget.try_spend('other', key(999), OVERLOADED)


def test_calls_of_a_lost_upstream_may_still_move():
    budget = retry_budget.TokenBucketBudget()
    spent(budget, OVERLOADED)
    assert spent(budget, LOST) >= retry_budget.LOSS_BURST - 10


def test_retries_add_at_most_a_fifth_of_the_successes():
    budget = retry_budget.TokenBucketBudget()
    spent(budget, OVERLOADED)
    for number in range(100):
        budget.record_success('e', key(number))
        budget.try_spend('e', key(number), OVERLOADED)
    assert not budget.try_spend('e', key(1000), OVERLOADED)
    successes, retries = 0, 0
    for number in range(1000):
        budget.record_success('e', key(number))
        successes += 1
        retries += budget.try_spend('e', key(number), OVERLOADED)
    assert retries <= successes * retry_budget.DEPOSIT_PER_SUCCESS + 1


def test_one_program_has_a_budget_of_its_own():
    budget = retry_budget.TokenBucketBudget()
    found = [budget.try_spend(f'e{n}', key(1), LOST) for n in range(20)]
    assert found.count(True) == retry_budget.PROGRAM_BURST
    assert budget.try_spend('e1', key(2), LOST)
