package org.lovagevale.standins.caller;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.lovagevale.base.SystemClock;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.core.publisher.Flux;

/**
 * Sends calls at a constant rate for a given time and counts their results.
 */
@Command(name = "caller", mixinStandardHelpOptions = true,
		description = "Sends calls at a constant rate for a given time and counts their results.")
public final class CallerCommand implements Callable<Integer> {

	private static final int MAX_RATE = 5_000;

	private static final int MAX_SECONDS = 600;

	private static final int MAX_OPEN_CALLS = 10_000;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final int USAGE_EXIT_CODE = 2;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Option(names = "--entry", required = true, paramLabel = "HOST:PORT",
			description = "Entry process used for address lookups; may be repeated.")
	private List<String> entries = List.of();

	@Option(names = "--service", required = true, description = "The service.")
	private String service = "";

	@Option(names = "--account", defaultValue = "", description = "The client account.")
	private String account = "";

	@Option(names = "--path", required = true, description = "The path with query.")
	private String path = "/";

	@Option(names = "--write", paramLabel = "TEXT", defaultValue = "",
			description = "Sends POST with this body and an idempotency key.")
	private String write = "";

	@Option(names = "--rate", defaultValue = "10", description = "Calls per second, at most 5000.")
	private int rate;

	@Option(names = "--seconds", defaultValue = "10", description = "Duration in seconds, at most 600.")
	private int seconds;

	@Override
	public Integer call() {
		if (this.rate < 1 || this.rate > MAX_RATE || this.seconds < 1 || this.seconds > MAX_SECONDS) {
			this.spec.commandLine()
				.getErr()
				.println("caller: --rate must be from 1 to 5000 and --seconds from 1 to 600");
			return USAGE_EXIT_CODE;
		}
		Map<String, LongAdder> countsByResult = new ConcurrentHashMap<>();
		List<EntryAddress> seeds = this.entries.stream().map(CallerCommand::parse).toList();
		try (Caller caller = new Caller(seeds, this.service, this.account, new SystemClock())) {
			Call call = this.write.isEmpty() ? Call.get(this.path) : Call.post(this.path, this.write);
			Flux.interval(Duration.ofNanos(NANOS_PER_SECOND / this.rate))
				.take((long) this.rate * this.seconds)
				.onBackpressureBuffer()
				.flatMap((tick) -> caller.send(call).map(CallerCommand::describe).onErrorReturn("no address"),
						MAX_OPEN_CALLS)
				.doOnNext((result) -> countsByResult.computeIfAbsent(result, (name) -> new LongAdder()).increment())
				.blockLast();
		}
		PrintWriter out = this.spec.commandLine().getOut();
		new TreeMap<>(countsByResult).forEach((result, count) -> out.println(count + " " + result));
		out.flush();
		return countsByResult.keySet().stream().allMatch((result) -> result.startsWith("2")) ? 0 : 1;
	}

	private static EntryAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return EntryAddress.of(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	private static String describe(CallResult result) {
		if (result.status() == 0) {
			return "no answer";
		}
		return (result.status() + " " + result.outcome() + " " + result.reason()).trim();
	}

}
