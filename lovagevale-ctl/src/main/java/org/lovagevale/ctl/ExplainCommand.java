package org.lovagevale.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Shows what an entry process decided about a request, and why.
 */
@Command(name = "explain", description = "Shows what an entry process decided about a request, and why.")
final class ExplainCommand implements Callable<Integer> {

	private final Printer printer;

	@Mixin
	private AdminRequestOptions request = new AdminRequestOptions();

	@Parameters(index = "1", paramLabel = "REQUEST-ID", description = "the value of Lovagevale-Request-Id")
	private String requestId = "";

	ExplainCommand(Printer printer) {
		this.printer = printer;
	}

	@Override
	public Integer call() throws CtlException {
		String encoded = URLEncoder.encode(this.requestId, StandardCharsets.UTF_8).replace("+", "%20");
		return this.request.sendAndPrint("/explain/" + encoded, this.printer);
	}

}
