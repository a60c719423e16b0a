package org.lovagevale.node.admin;

import java.util.List;
import java.util.Optional;

import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.Status;
import org.lovagevale.node.audit.AuditView;
import org.lovagevale.node.audit.RecordedStep;

/**
 * Provides the state of a process that the admin port shows.
 *
 * <p>
 * Implementations are thread-safe.
 */
public interface AdminSource {

	/**
	 * Returns the identity of the process.
	 * @return its VM and incarnation
	 */
	ProcessIdentity self();

	/**
	 * Returns the status.
	 * @return the status
	 */
	Status status();

	/**
	 * Returns whether callers are served.
	 * @return {@code true} if the port for callers is open and new work may start
	 */
	boolean isReady();

	/**
	 * Returns the audit trail.
	 * @return the trail
	 */
	AuditView audit();

	/**
	 * Returns the decisions about a request.
	 * @param id the request
	 * @return the decisions in order, or empty if none are recorded
	 */
	Optional<List<RecordedStep>> explain(RequestId id);

	/**
	 * Returns the text of the settings in force.
	 * @return the tree, or empty if none is in force
	 */
	Optional<String> settingsContent();

	/**
	 * Returns every metric.
	 * @return the metrics in the text format of Prometheus
	 */
	String metrics();

}
