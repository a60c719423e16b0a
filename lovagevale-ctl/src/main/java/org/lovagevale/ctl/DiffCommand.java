package org.lovagevale.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.SettingsChange;
import org.lovagevale.settings.SettingsDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Lists the changes between an older and a newer settings tree.
 */
@Command(name = "diff", description = "Lists what a new settings tree changes.")
final class DiffCommand implements Callable<Integer> {

	private final Printer printer;

	@Mixin
	private OutputOption output = new OutputOption();

	@Parameters(index = "0", paramLabel = "OLD", description = "the older settings tree")
	private Path older = Path.of("");

	@Parameters(index = "1", paramLabel = "NEW", description = "the newer settings tree")
	private Path newer = Path.of("");

	DiffCommand(Printer printer) {
		this.printer = printer;
	}

	@Override
	public Integer call() throws CtlException {
		List<SettingsChange> changes = SettingsDiff.between(TreeFile.read(this.older).toSettings(),
				TreeFile.read(this.newer).toSettings());
		TreeSet<ServiceName> affectedServices = new TreeSet<>();
		changes.forEach((change) -> affectedServices.addAll(change.services()));
		List<String> serviceNames = affectedServices.stream().map(ServiceName::value).toList();
		if (this.output.isJson()) {
			printJson(changes, serviceNames);
		}
		else {
			printText(changes, serviceNames);
		}
		return ExitCode.SUCCESS.value();
	}

	private void printJson(List<SettingsChange> changes, List<String> serviceNames) throws CtlException {
		ObjectNode result = Printer.MAPPER.createObjectNode();
		ArrayNode list = result.putArray("changes");
		for (SettingsChange change : changes) {
			ObjectNode item = list.addObject().put("kind", change.kind().name().toLowerCase(Locale.ROOT));
			item.put("subjectType", change.subjectType()).put("subject", change.subject());
			item.put("detail", change.detail());
			ArrayNode affected = item.putArray("services");
			change.services().forEach((service) -> affected.add(service.value()));
		}
		result.set("services", Printer.MAPPER.valueToTree(serviceNames));
		this.printer.printJson(result);
	}

	private void printText(List<SettingsChange> changes, List<String> serviceNames) {
		if (changes.isEmpty()) {
			this.printer.printLine("no differences");
		}
		changes.forEach((change) -> this.printer.printLine(change.toString()));
		if (!serviceNames.isEmpty()) {
			this.printer.printLine("services touched: " + String.join(", ", serviceNames));
		}
	}

}
