package org.fuchsiatrail.wire;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.UpstreamId;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Maps the core's messages to JSON and MessagePack.
 *
 * <p>Ids are written as plain texts. A message of a sealed family carries its record's name in the field {@code type}.
 * Unknown fields are ignored, so that routers of two versions understand each other during an upgrade.
 */
public final class WireMapper {

    private static final List<Class<?>> IDS = List.of(
            EntryVmId.class, FailureDomain.class, CustomerId.class, UpstreamId.class, RequestId.class, AttemptId.class);

    private static final List<Class<?>> FAMILIES = List.of(
            PeerMessage.class,
            EngineEvent.class,
            StoreRequest.class,
            StoreResult.class,
            ClaimVerdict.class,
            OperatorRequest.class,
            OperatorAnswer.class);

    /**
     * Records that routers send each other many times a second, written as lists of their fields in order. New fields
     * are appended; routers of another version skip them or go without.
     */
    private static final List<Class<?>> COMPACT = List.of(
            PeerMessage.UpstreamWork.class,
            PeerMessage.ReadParts.class,
            PeerMessage.CacheChanges.class,
            PeerMessage.Switching.class,
            PeerMessage.SeenWeights.class);

    private WireMapper() {}

    /** How an id is written. */
    private abstract static class IdForm {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        IdForm(String value) {}

        @JsonValue
        abstract String value();
    }

    /** How a model version is written. */
    private abstract static class ModelVersionForm {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        static ModelVersion parse(String text) {
            throw new UnsupportedOperationException(text);
        }

        @JsonValue
        @Override
        public abstract String toString();
    }

    /** How the member of a family is told. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface FamilyForm {}

    /**
     * Returns a mapper for JSON.
     *
     * @return a mapper, safe for any number of threads
     */
    public static ObjectMapper json() {
        return configure(new ObjectMapper());
    }

    /**
     * Returns a mapper for MessagePack.
     *
     * @return a mapper, safe for any number of threads
     */
    public static ObjectMapper messagePack() {
        return configure(new ObjectMapper(new MessagePackFactory()));
    }

    /**
     * Returns a mapper for another format.
     *
     * @param format the format
     * @return a mapper
     */
    public static ObjectMapper of(JsonFactory format) {
        return configure(new ObjectMapper(format));
    }

    private static ObjectMapper configure(ObjectMapper mapper) {
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        JsonFormat.Value compact = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        COMPACT.forEach(record -> mapper.configOverride(record).setFormat(compact));
        JsonInclude.Value filled =
                JsonInclude.Value.construct(JsonInclude.Include.NON_EMPTY, JsonInclude.Include.ALWAYS);
        mapper.configOverride(PeerMessage.ForwardingNews.class).setInclude(filled);
        IDS.forEach(id -> mapper.addMixIn(id, IdForm.class));
        mapper.addMixIn(ModelVersion.class, ModelVersionForm.class);
        for (Class<?> family : FAMILIES) {
            mapper.addMixIn(family, FamilyForm.class);
            for (Class<?> member : family.getPermittedSubclasses()) {
                mapper.registerSubtypes(new NamedType(member, member.getSimpleName()));
            }
        }
        return mapper;
    }
}
