package org.lovagevale.bench;

import java.util.List;
import java.util.stream.DoubleStream;

/**
 * A measured quantity, summarized over several runs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name, in snake case
 * @param value the value that represents all runs, which is the median
 * @param unit the unit
 * @param runs the number of runs
 * @param min the smallest value
 * @param median the median
 * @param max the largest value
 */
record Figure(String name, double value, String unit, int runs, double min, double median, double max) {

	static Figure of(String name, String unit, List<Double> values) {
		if (values.isEmpty()) {
			throw new IllegalArgumentException("figure " + name + " has no value");
		}
		double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		double median = median(sorted);
		return new Figure(name, median, unit, sorted.length, sorted[0], median, sorted[sorted.length - 1]);
	}

	private static double median(double[] sorted) {
		int middle = sorted.length / 2;
		if (sorted.length % 2 == 1) {
			return sorted[middle];
		}
		return DoubleStream.of(sorted[middle - 1], sorted[middle]).average().orElseThrow();
	}

}
