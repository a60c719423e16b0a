package org.lovagevale.node.admin;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lovagevale.core.RequestId;
import org.lovagevale.core.Status;
import org.lovagevale.node.audit.RecordedStep;
import org.lovagevale.settings.EffectiveValue;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.SettingsOrigins;

/**
 * Builds the pages of the admin port.
 *
 * <p>
 * Thread-safe.
 */
final class AdminPages {

	private static final String PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private static final String EXPLAIN_PATH_PREFIX = "/explain/";

	private static final String EFFECTIVE_PATH = "/effective";

	private static final int HEX_RADIX = 16;

	private final AdminSource source;

	AdminPages(AdminSource source) {
		this.source = source;
	}

	/**
	 * Builds the page for a path.
	 * @param path the percent-decoded path
	 * @return the response
	 */
	Reply buildPage(String path) {
		if (path.startsWith(EXPLAIN_PATH_PREFIX)) {
			return explain(path.substring(EXPLAIN_PATH_PREFIX.length()));
		}
		if (path.equals(EFFECTIVE_PATH) || path.startsWith(EFFECTIVE_PATH + "/")) {
			return effective(path.substring(EFFECTIVE_PATH.length()));
		}
		return switch (path) {
			case "/status" -> Reply.ok(status());
			case "/audit" -> Reply.ok(this.source.audit());
			case "/metrics" -> Reply.text(PROMETHEUS_CONTENT_TYPE, this.source.metrics());
			case "/ready" -> ready();
			default ->
				Reply.notFound("Use /status, /audit, /explain/<request-id>, /effective/<branch>, /metrics or /ready.");
		};
	}

	private StatusView status() {
		return new StatusView(this.source.self().vm(), this.source.self().incarnation(), this.source.isReady(),
				this.source.status());
	}

	private Reply ready() {
		Status status = this.source.status();
		Map<String, Object> view = Map.of("ready", this.source.isReady(), "permission", status.permission(), "phase",
				status.phase());
		return this.source.isReady() ? Reply.ok(view) : Reply.unavailable(view);
	}

	private Reply explain(String text) {
		try {
			RequestId id = new RequestId(Long.parseUnsignedLong(text, HEX_RADIX));
			Optional<List<RecordedStep>> steps = this.source.explain(id);
			return steps.map((found) -> Reply.ok(new ExplainView(this.source.self().vm(), id, found)))
				.orElseGet(() -> Reply.notFound("This VM does not remember the request " + id
						+ "; ask the VM named in the response's Lovagevale-Vm header."));
		}
		catch (NumberFormatException ex) {
			return Reply.notFound("A request id has up to 16 hexadecimal digits.");
		}
	}

	private Reply effective(String path) {
		Optional<String> content = this.source.settingsContent();
		if (content.isEmpty()) {
			return Reply.unavailable(new Problem("No settings are in force yet."));
		}
		try {
			return effective(path.replaceAll("^/+|/+$", ""), SettingsOrigins.read(content.get()));
		}
		catch (SettingsException ex) {
			throw new IllegalStateException(
					"the settings in force cannot be parsed, although they were accepted before", ex);
		}
	}

	private Reply effective(String branch, SettingsOrigins origins) {
		Optional<List<EffectiveValue>> values = origins.values(branch);
		List<String> below = origins.branchesBelow(branch);
		if (values.isEmpty() && below.isEmpty()) {
			return Reply
				.notFound(("The settings have no branch \"" + branch + "\". " + origins.suggestion(branch)).trim());
		}
		List<Map<String, Object>> shown = values.orElse(List.of()).stream().map(EffectiveView::toMap).toList();
		return Reply.ok(new EffectiveView(this.source.status().settingsVersion(), branch, shown, below));
	}

}
