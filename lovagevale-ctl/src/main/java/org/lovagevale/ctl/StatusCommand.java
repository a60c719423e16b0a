package org.lovagevale.ctl;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows the state of an entry process.
 */
@Command(name = "status", description = "Shows the state of an entry process.")
final class StatusCommand implements Callable<Integer> {

	private final Printer printer;

	@Mixin
	private AdminRequestOptions request = new AdminRequestOptions();

	StatusCommand(Printer printer) {
		this.printer = printer;
	}

	@Override
	public Integer call() throws CtlException {
		return this.request.sendAndPrint("/status", this.printer);
	}

}
