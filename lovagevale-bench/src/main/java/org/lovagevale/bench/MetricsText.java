package org.lovagevale.bench;

import java.util.regex.Pattern;

/**
 * Metrics in the Prometheus text format.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param text the text
 */
record MetricsText(String text) {

	private static final Pattern SPACE = Pattern.compile(" ");

	/**
	 * Returns the sum of a metric over all its label sets.
	 * @param name the name of the metric
	 * @return the sum
	 * @throws IllegalArgumentException if there is no such metric
	 */
	double sum(String name) {
		double[] values = this.text.lines()
			.filter((line) -> line.startsWith(name + " ") || line.startsWith(name + "{"))
			.mapToDouble(MetricsText::value)
			.toArray();
		if (values.length == 0) {
			throw new IllegalArgumentException("the entry process has no metric named " + name);
		}
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum;
	}

	private static double value(String line) {
		String[] parts = SPACE.split(line.substring(line.lastIndexOf('}') + 1).strip());
		return Double.parseDouble(parts[parts.length - 1]);
	}

}
