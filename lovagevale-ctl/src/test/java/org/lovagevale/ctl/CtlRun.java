package org.lovagevale.ctl;

import java.io.PrintWriter;
import java.io.StringWriter;

/**
 * The result of a run of the tool inside the test process.
 *
 * @param code the exit code
 * @param out what it wrote to standard output
 * @param err what it wrote to standard error
 */
record CtlRun(int code, String out, String err) {

	static CtlRun of(String... args) {
		StringWriter out = new StringWriter();
		StringWriter err = new StringWriter();
		int code = LovagevaleCtl.run(new PrintWriter(out), new PrintWriter(err), args);
		return new CtlRun(code, out.toString(), err.toString());
	}

}
