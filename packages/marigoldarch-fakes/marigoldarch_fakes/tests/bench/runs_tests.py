"""Tests of whole runs of the benchmark."""

from __future__ import annotations

import unittest

from marigoldarch_fakes.bench.load import DEPLOYMENTS, GUILD, generate_jobs
from marigoldarch_fakes.bench.report import group_results, render_plot, render_table
from marigoldarch_fakes.bench.runs import POLICIES, Run, simulate_run

DURATION_MS = 20_000.0


class LoadTests(unittest.TestCase):
    """The generated load."""

    def test_one_prompt_in_fifty_exceeds_100k_tokens(self) -> None:
        for deployment in DEPLOYMENTS:
            shares = {item.name: item.share for item in deployment.classes}
            self.assertEqual(shares["100k-1M"], 0.02)
            self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_longest_prompt_needs_more_than_twice_the_memory_of_an_engine(self) -> None:
        for deployment in DEPLOYMENTS:
            longest = max(item.high_tokens for item in deployment.classes)
            self.assertGreater(longest, 2 * deployment.engine.memory_tokens)

    def test_same_seed_gives_the_same_load(self) -> None:
        jobs = generate_jobs(GUILD, 0.8, 3, DURATION_MS)
        self.assertEqual(jobs, generate_jobs(GUILD, 0.8, 3, DURATION_MS))
        self.assertNotEqual(jobs, generate_jobs(GUILD, 0.8, 4, DURATION_MS))


class RunTests(unittest.TestCase):
    """Short runs of every policy."""

    def test_every_policy_answers_a_light_load_and_is_deterministic(self) -> None:
        for policy in POLICIES:
            run = Run("guild", policy, 0.3, 1, DURATION_MS)
            result = simulate_run(run)
            with self.subTest(policy=policy):
                self.assertEqual(sum(result.refused.values()), 0)
                self.assertEqual(result.wrong_releases, 0)
                self.assertEqual(result, simulate_run(run))

    def test_table_and_plot_name_every_policy(self) -> None:
        groups = group_results(
            [simulate_run(Run("guild", policy, 0.5, 1, 5_000.0)) for policy in POLICIES]
        )
        table, plot = render_table(groups), render_plot(groups)
        for policy in POLICIES:
            self.assertIn(policy, table)
            self.assertIn(policy, plot)
