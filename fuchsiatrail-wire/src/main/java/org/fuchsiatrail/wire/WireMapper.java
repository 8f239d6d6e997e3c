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
 * Creates the Jackson mappers that convert the core's messages to JSON and MessagePack.
 *
 * <p>Ids are written as plain strings. A record of a sealed message type carries its simple class name in the field
 * {@code type}. Unknown fields are ignored, so that routers of two versions can exchange messages during an upgrade.
 */
public final class WireMapper {

    private static final List<Class<?>> IDS = List.of(
            EntryVmId.class, FailureDomain.class, CustomerId.class, UpstreamId.class, RequestId.class, AttemptId.class);

    private static final List<Class<?>> SEALED_TYPES = List.of(
            PeerMessage.class,
            EngineEvent.class,
            StoreRequest.class,
            StoreResult.class,
            ClaimVerdict.class,
            OperatorRequest.class,
            OperatorAnswer.class);

    /**
     * Records that routers send to each other many times a second. To save bytes they are written as arrays of their
     * components in declaration order, without field names. New components are appended at the end; a router of another
     * version ignores them or reads a message without them.
     */
    private static final List<Class<?>> COMPACT = List.of(
            PeerMessage.UpstreamWork.class,
            PeerMessage.WorkChange.class,
            PeerMessage.CustomerUse.class,
            PeerMessage.ReadParts.class,
            PeerMessage.CacheChanges.class,
            PeerMessage.Switching.class,
            PeerMessage.SeenWeights.class);

    private WireMapper() {}

    /** Writes an id as its plain string value. */
    private abstract static class IdMixin {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        IdMixin(String value) {}

        @JsonValue
        abstract String value();
    }

    /** Writes a model version in the text form of its {@code toString}. */
    private abstract static class ModelVersionMixin {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        static ModelVersion parse(String text) {
            throw new UnsupportedOperationException(text);
        }

        @JsonValue
        @Override
        public abstract String toString();
    }

    /** Writes the simple class name of a sealed type's record in the field {@code type}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface TypeFieldMixin {}

    /** Leaves out what most updates do not say; routers read it as false. */
    private interface ForwardingNewsMixin {
        @JsonInclude(JsonInclude.Include.NON_DEFAULT)
        boolean workByChanges();

        @JsonInclude(JsonInclude.Include.NON_DEFAULT)
        boolean countsUse();

        @JsonInclude(JsonInclude.Include.NON_DEFAULT)
        long subtreeRouters();

        @JsonInclude(JsonInclude.Include.NON_DEFAULT)
        long fleetRouters();
    }

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
     * @param format the Jackson factory of the format
     * @return a mapper, safe for any number of threads
     */
    public static ObjectMapper of(JsonFactory format) {
        return configure(new ObjectMapper(format));
    }

    private static ObjectMapper configure(ObjectMapper mapper) {
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        JsonFormat.Value compact = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        COMPACT.forEach(record -> mapper.configOverride(record).setFormat(compact));
        JsonInclude.Value nonEmpty =
                JsonInclude.Value.construct(JsonInclude.Include.NON_EMPTY, JsonInclude.Include.ALWAYS);
        mapper.configOverride(PeerMessage.ForwardingNews.class).setInclude(nonEmpty);
        mapper.addMixIn(PeerMessage.ForwardingNews.class, ForwardingNewsMixin.class);
        IDS.forEach(id -> mapper.addMixIn(id, IdMixin.class));
        mapper.addMixIn(ModelVersion.class, ModelVersionMixin.class);
        for (Class<?> sealedType : SEALED_TYPES) {
            mapper.addMixIn(sealedType, TypeFieldMixin.class);
            for (Class<?> recordType : sealedType.getPermittedSubclasses()) {
                mapper.registerSubtypes(new NamedType(recordType, recordType.getSimpleName()));
            }
        }
        return mapper;
    }
}
