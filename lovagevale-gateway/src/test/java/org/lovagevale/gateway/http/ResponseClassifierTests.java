package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.gateway.TestProtocol;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a relayed status which says that a request was not run although a server
 * has run it; an entry VM of an older version passes such a status on.
 */
class ResponseClassifierTests {

	private final ResponseClassifier classifier = new ResponseClassifier(new TestProtocol());

	private final SendAttempt relay = new SendAttempt(null, null,
			new BackendInstance(new ServerName("vm"), new ServiceName("balances"), "127.0.0.1", 1,
					new FailureDomain("west-1"), new Region("west"), 1, false, 0, 0),
			new MemoryAccount(new ManualClock(1_000, 0), 1_000_000), 0);

	@ParameterizedTest
	@CsvSource({ "408,FAILED,false", "421,FAILED,false", "429,FAILED,false", "503,FAILED,false", "500,FAILED,true",
			"504,FAILED,true", "404,SERVED,true", "200,SERVED,true" })
	void relayedResponseOfAServer(int status, SlotOutcome outcome, boolean passedOn) {
		HttpResponse response = response(status);
		response.headers().set("Test-Signature", "s");
		assertThat(this.classifier.classify(this.relay)).isEqualTo(outcome);
		assertThat(this.classifier.mayPassOn(response)).isEqualTo(passedOn);
	}

	@ParameterizedTest
	@CsvSource({ "408,NOT_EXECUTED", "421,NOT_EXECUTED", "429,NOT_EXECUTED", "503,NOT_EXECUTED", "502,FAILED",
			"504,FAILED" })
	void responseOfTheOtherEntryVm(int status, SlotOutcome outcome) {
		HttpResponse response = response(status);
		assertThat(this.classifier.classify(this.relay)).isEqualTo(outcome);
		assertThat(this.classifier.mayPassOn(response)).isFalse();
	}

	private HttpResponse response(int status) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		this.relay.headReceived(response);
		return response;
	}

}
