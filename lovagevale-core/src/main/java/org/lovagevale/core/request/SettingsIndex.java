package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.RouteSettings;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

/**
 * An index of the routes and client accounts in one version of the settings.
 *
 * <p>
 * Not thread-safe.
 */
final class SettingsIndex {

	private static final Comparator<RouteEntry> MOST_SPECIFIC_FIRST = Comparator
		.comparingInt((RouteEntry entry) -> -entry.route().pathPrefix().length())
		.thenComparing((entry) -> entry.route().method().equals("*"));

	private static final String NO_SEGMENT = "";

	private final Settings settings;

	private final Map<AccountName, AccountSettings> accounts = new HashMap<>();

	private final Map<String, List<RouteEntry>> routesBySegment = new HashMap<>();

	/**
	 * Creates an index of the given settings.
	 * @param settings the settings
	 * @param self this VM
	 * @param table the server table, already configured with the same settings
	 */
	SettingsIndex(Settings settings, VmName self, ServerTable table) {
		this.settings = settings;
		settings.accounts().forEach((account) -> this.accounts.put(account.name(), account));
		Region selfRegion = settings.entryVm(self).map(EntryVm::region).orElse(null);
		for (ServiceSettings service : settings.services()) {
			ServiceState state = table.service(service.name());
			for (RouteSettings route : service.routes()) {
				add(new RouteEntry(state, route, selfRegion));
			}
		}
		this.routesBySegment.values().forEach((routes) -> routes.sort(MOST_SPECIFIC_FIRST));
	}

	private void add(RouteEntry entry) {
		String segment = firstSegment(entry.route().pathPrefix());
		this.routesBySegment.computeIfAbsent(segment, (key) -> new ArrayList<>()).add(entry);
	}

	Settings settings() {
		return this.settings;
	}

	@Nullable AccountSettings account(AccountName name) {
		return this.accounts.get(name);
	}

	/**
	 * Returns the most specific route that matches a request.
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return the route, or {@code null} if none matches or the path is ambiguous because
	 * it contains dot segments or encoded dots
	 */
	@Nullable RouteEntry match(String method, String path) {
		if (isAmbiguous(path)) {
			return null;
		}
		RouteEntry entry = match(firstSegment(path), method, path);
		return (entry != null) ? entry : match(NO_SEGMENT, method, path);
	}

	private @Nullable RouteEntry match(String segment, String method, String path) {
		List<RouteEntry> routes = this.routesBySegment.get(segment);
		if (routes == null) {
			return null;
		}
		for (RouteEntry entry : routes) {
			if (entry.route().matches(method, path)) {
				return entry;
			}
		}
		return null;
	}

	// A backend server may resolve dot segments and so serve a different route, which may
	// have other home regions.
	private static boolean isAmbiguous(String path) {
		if (path.contains("%2e") || path.contains("%2E")) {
			return true;
		}
		int dot = path.indexOf("/.");
		while (dot >= 0) {
			int end = path.indexOf('/', dot + 1);
			String segment = (end >= 0) ? path.substring(dot + 1, end) : path.substring(dot + 1);
			if (segment.equals(".") || segment.equals("..")) {
				return true;
			}
			dot = path.indexOf("/.", dot + 1);
		}
		return false;
	}

	private static String firstSegment(String path) {
		int end = path.indexOf('/', 1);
		if (end >= 0) {
			return path.substring(1, end);
		}
		return (path.length() > 1) ? path.substring(1) : NO_SEGMENT;
	}

}
