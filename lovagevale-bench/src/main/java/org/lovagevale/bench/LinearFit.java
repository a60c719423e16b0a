package org.lovagevale.bench;

/**
 * A straight line fitted to points by least squares.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param slope the change of y per unit of x
 * @param intercept the value of y at x = 0
 * @param worstResidual the greatest absolute residual, in units of y
 */
record LinearFit(double slope, double intercept, double worstResidual) {

	static LinearFit of(double[] x, double[] y) {
		if (x.length != y.length || x.length < 2) {
			throw new IllegalArgumentException("x and y must have the same length of at least 2");
		}
		double meanX = mean(x);
		double meanY = mean(y);
		double sumOfProducts = 0;
		double sumOfSquares = 0;
		for (int i = 0; i < x.length; i++) {
			sumOfProducts += (x[i] - meanX) * (y[i] - meanY);
			sumOfSquares += (x[i] - meanX) * (x[i] - meanX);
		}
		double slope = sumOfProducts / sumOfSquares;
		double intercept = meanY - slope * meanX;
		double worst = 0;
		for (int i = 0; i < x.length; i++) {
			worst = Math.max(worst, Math.abs(y[i] - intercept - slope * x[i]));
		}
		return new LinearFit(slope, intercept, worst);
	}

	private static double mean(double[] values) {
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum / values.length;
	}

}
