package org.lovagevale.ctl;

import java.io.PrintWriter;
import java.io.StringWriter;

/**
 * The result of running the tool in the process of the test.
 *
 * @param code the exit code
 * @param out the text written to standard output
 * @param err the text written to standard error
 */
record CtlRun(int code, String out, String err) {

	static CtlRun of(String... args) {
		StringWriter out = new StringWriter();
		StringWriter err = new StringWriter();
		int code = LovagevaleCtl.run(new PrintWriter(out), new PrintWriter(err), args);
		return new CtlRun(code, out.toString(), err.toString());
	}

}
