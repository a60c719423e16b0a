package org.lovagevale.ctl;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows the audit trail of an entry process.
 */
@Command(name = "audit", description = "Shows the audit trail of an entry process.")
final class AuditCommand implements Callable<Integer> {

	private final Printer printer;

	@Mixin
	private AdminRequestOptions request = new AdminRequestOptions();

	AuditCommand(Printer printer) {
		this.printer = printer;
	}

	@Override
	public Integer call() throws CtlException {
		return this.request.sendAndPrint("/audit", this.printer);
	}

}
