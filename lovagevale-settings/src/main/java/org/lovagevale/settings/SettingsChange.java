package org.lovagevale.settings;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.lovagevale.base.ServiceName;

/**
 * A difference between two versions of the settings, in a form shown to operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param kind the kind of change
 * @param subjectType the type of the changed object, for example "failure domain"
 * @param subject the name of the changed object
 * @param detail the name of the changed value with the old and the new value, or empty
 * @param services the affected services, in order of name; empty if the change affects
 * all services or no service in particular
 */
public record SettingsChange(ChangeKind kind, String subjectType, String subject, String detail,
		List<ServiceName> services) {

	/**
	 * Copies the list.
	 */
	public SettingsChange {
		services = List.copyOf(services);
	}

	@Override
	public String toString() {
		String text = this.subjectType + " " + this.subject + ": " + this.kind.name().toLowerCase(Locale.ROOT);
		if (!this.detail.isEmpty()) {
			text += ", " + this.detail;
		}
		if (!this.services.isEmpty()) {
			text += this.services.stream()
				.map(ServiceName::toString)
				.collect(Collectors.joining(", ", " (touches ", ")"));
		}
		return text;
	}

}
