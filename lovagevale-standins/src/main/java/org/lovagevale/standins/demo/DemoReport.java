package org.lovagevale.standins.demo;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * Prints and collects the results of the steps of the demonstration.
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

	void say(String line) {
		this.out.println(line);
		this.out.flush();
	}

	void check(String step, boolean correct, String detail) {
		this.steps++;
		say((correct ? "ok      " : "FAILED  ") + step + ": " + detail);
		if (!correct) {
			this.failed.add(step);
		}
	}

	boolean isCorrect() {
		return this.failed.isEmpty();
	}

	void finish() {
		if (isCorrect()) {
			say("All " + this.steps + " steps were correct.");
			return;
		}
		say(this.failed.size() + " of " + this.steps + " steps failed: " + String.join(", ", this.failed));
	}

}
