package declarations

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// Keys of the table's rows: the head row names the newest revision, the log has one delta per revision, and each object
// row holds the object's newest declaration. An edit writes all three in one transaction that is conditional on the
// head row.
const (
	tablePrefix  = "decl/"
	headKey      = tablePrefix + "head"
	logPrefix    = tablePrefix + "log/"
	objectPrefix = tablePrefix + "object/"
)

func logKey(revision uint64) string { return fmt.Sprintf("%s%016x", logPrefix, revision) }

func objectKey(key *pb.ObjectKey) string { return objectPrefix + key.GetKind() + "/" + key.GetName() }

// ErrMalformedRow reports that a row of the table cannot be decoded.
var ErrMalformedRow = errors.New("declarations: malformed row")

func decodeRow(row backing.Row, message proto.Message) error {
	if row.Err != nil {
		return errors.Wrap(ErrMalformedRow, row.Err.Error())
	}
	if err := proto.Unmarshal(row.Value, message); err != nil {
		return errors.Wrapf(ErrMalformedRow, "%s: %v", row.Key, err)
	}
	return nil
}

func putRow(key string, message proto.Message) (backing.Put, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return backing.Put{}, errors.Wrapf(ErrInvalid, "%s: %v", key, err)
	}
	return backing.Put{Key: key, Value: value}, nil
}

// editTxn returns the transaction of an edit, which is conditional on the head row's revision. It also deletes the log
// row that is logKeep revisions old.
func editTxn(headRowRevision uint64, delta *pb.Delta, logKeep uint64) (backing.Txn, error) {
	txn := backing.Txn{Conditions: []backing.Condition{{Key: headKey, Revision: headRowRevision}}}
	head := &pb.Head{Revision: delta.GetRevision(), OperationId: delta.GetOperationId(), Author: delta.GetAuthor()}
	if err := addPut(&txn, headKey, head); err != nil {
		return txn, err
	}
	if err := addPut(&txn, logKey(delta.GetRevision()), delta); err != nil {
		return txn, err
	}
	for _, object := range delta.GetPut() {
		if err := addPut(&txn, objectKey(KeyOf(object)), object); err != nil {
			return txn, err
		}
	}
	for _, key := range delta.GetDeleted() {
		txn.Deletes = append(txn.Deletes, objectKey(key))
	}
	if delta.GetRevision() > logKeep {
		txn.Deletes = append(txn.Deletes, logKey(delta.GetRevision()-logKeep))
	}
	return txn, nil
}

func addPut(txn *backing.Txn, key string, message proto.Message) error {
	put, err := putRow(key, message)
	txn.Puts = append(txn.Puts, put)
	return err
}

// tableContent holds all declaration rows as of one table revision.
type tableContent struct {
	headRowRevision uint64
	head            *pb.Head
	objects         []*pb.Object
	log             []*pb.Delta
}

// decodeContent decodes rows, which must be sorted by key, so that the log is sorted by revision.
func decodeContent(rows []backing.Row) (*tableContent, error) {
	content := &tableContent{head: &pb.Head{}}
	for _, row := range rows {
		if err := content.add(row); err != nil {
			return nil, err
		}
	}
	return content, nil
}

func (c *tableContent) add(row backing.Row) error {
	switch {
	case row.Key == headKey:
		c.headRowRevision = row.Revision
		return decodeRow(row, c.head)
	case strings.HasPrefix(row.Key, logPrefix):
		delta := &pb.Delta{}
		c.log = append(c.log, delta)
		return decodeRow(row, delta)
	case strings.HasPrefix(row.Key, objectPrefix):
		object := &pb.Object{}
		c.objects = append(c.objects, object)
		return decodeRow(row, object)
	}
	return nil
}
