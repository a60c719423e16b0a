package org.lovagevale.standins.demo;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * Prints and counts the results of the steps of the demonstration.
 *
 * <p>
 * Not thread-safe.
 */
final class DemoReport {

	private final PrintWriter out;

	private final List<String> failed = new ArrayList<>();

	private int steps;

	DemoReport(PrintWriter out) {
		this.out = out;
	}

	void print(String line) {
		this.out.println(line);
		this.out.flush();
	}

	void addResult(String step, boolean passed, String detail) {
		this.steps++;
		print((passed ? "ok      " : "FAILED  ") + step + ": " + detail);
		if (!passed) {
			this.failed.add(step);
		}
	}

	boolean allPassed() {
		return this.failed.isEmpty();
	}

	void printSummary() {
		if (allPassed()) {
			print("All " + this.steps + " steps passed.");
			return;
		}
		print(this.failed.size() + " of " + this.steps + " steps failed: " + String.join(", ", this.failed));
	}

}
