package org.lovagevale.settings;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against malformed trees, such as a file with a typing error or a truncated one,
 * that cause an unexpected exception instead of being rejected.
 */
class TreeFuzzTests {

	private static final List<String> TREES = List.of(MiniTree.TEXT, ExampleTrees.read("demo"),
			ExampleTrees.read("kandy"), ExampleTrees.read("hellenic"));

	private static final List<String> SNIPPETS = List.of("", "{", "}", "[", "]", ",", ":", "\"", "/*", "//", "null",
			"true", "-1", "0", "1e999", "99999999999999999999", "\"west\"", "[\"west\"]", "{}", "[]", "\\u0000",
			"\uD800", "\"out\": true,", "\"homeRegions\": [\"lk-south\"],", "\"host\": \"::1%1\",",
			"\"::ffff:10.0.0.1\"");

	@Property(tries = 3_000, seed = "20261204")
	void mutatedTreesAreRejectedOrValid(@ForAll("mutatedTrees") String content) {
		try {
			Settings settings = MiniTree.read(content);
			Statistics.collect("valid");
			assertThat(settings.entryVms()).isNotEmpty();
			assertThat(SettingsDiff.between(settings, settings)).isEmpty();
			assertThat(SettingsOrigins.read(content).branches()).contains("keys");
		}
		catch (SettingsException ex) {
			Statistics.collect("rejected");
			assertThat(ex.errors()).isNotEmpty();
			assertThat(ex.getMessage()).doesNotContain("\n");
		}
		Statistics.coverage((coverage) -> {
			coverage.check("valid").percentage((share) -> share > 5);
			coverage.check("rejected").percentage((share) -> share > 50);
		});
	}

	@Provide
	Arbitrary<String> mutatedTrees() {
		Arbitrary<Mutation> mutation = Combinators
			.combine(Arbitraries.integers().between(0, 9_999), Arbitraries.integers().between(0, 60),
					Arbitraries.of(SNIPPETS))
			.as(Mutation::new);
		return Combinators.combine(Arbitraries.of(TREES), mutation.list().ofMinSize(1).ofMaxSize(4))
			.as((tree, mutations) -> mutations.stream().reduce(tree, TreeFuzzTests::apply, (left, right) -> right));
	}

	private static String apply(String tree, Mutation mutation) {
		int start = (int) ((long) tree.length() * mutation.position() / 10_000);
		int end = Math.min(tree.length(), start + mutation.removed());
		return tree.substring(0, start) + mutation.inserted() + tree.substring(end);
	}

	/**
	 * A replacement of a part of the text.
	 *
	 * @param position the start in ten-thousandths of the length of the text
	 * @param removed the number of characters removed
	 * @param inserted the text inserted
	 */
	record Mutation(int position, int removed, String inserted) {
	}

}
